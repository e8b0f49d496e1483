package frontend

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against statements that end a transaction or declare a read without being
// recognized, and against inferring reads from the SQL text.
var _ = DescribeTable("classification of statements", func(sql string, want statementClass) {
	Expect(classify([]byte(sql))).To(Equal(want))
},
	Entry(nil, "", statementClass{kind: kindEmpty}),
	Entry(nil, " -- nothing\n;", statementClass{kind: kindEmpty}),
	Entry(nil, "select 1", statementClass{}),
	Entry(nil, "begin", statementClass{kind: kindBegin}),
	Entry(nil, "/* a /* b */ c */ BEGIN ISOLATION LEVEL REPEATABLE READ, READ ONLY;", statementClass{kind: kindBegin, readOnly: true}),
	Entry(nil, "BEGIN ISOLATION LEVEL READ COMMITTED", statementClass{kind: kindBegin}),
	Entry(nil, "start transaction read write", statementClass{kind: kindBegin, readWrite: true}),
	Entry(nil, "BEGIN READ ONLY; SELECT 1", statementClass{kind: kindUnknown}),
	Entry(nil, "INSERT INTO t VALUES ('a;b')", statementClass{kind: kindUnknown}),
	Entry(nil, "COMMIT AND CHAIN", statementClass{kind: kindCommit, chain: true}),
	Entry(nil, "END TRANSACTION AND NO CHAIN", statementClass{kind: kindCommit}),
	Entry(nil, "PREPARE TRANSACTION 'x'", statementClass{kind: kindCommit}),
	Entry(nil, "PREPARE x AS SELECT 1", statementClass{}),
	Entry(nil, "COMMIT PREPARED 'x'", statementClass{}),
	Entry(nil, "ROLLBACK TO SAVEPOINT a", statementClass{}),
	Entry(nil, "ROLLBACK WORK TO a", statementClass{}),
	Entry(nil, "ABORT", statementClass{kind: kindRollback}),
	Entry(nil, "SET x = 1", statementClass{kind: kindSet}),
	Entry(nil, "SET LOCAL x = 1", statementClass{}),
	Entry(nil, "SET LOCAL transaction_read_only = off", statementClass{readWrite: true}),
	Entry(nil, "SET TRANSACTION READ WRITE", statementClass{readWrite: true}),
	Entry(nil, "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY", statementClass{kind: kindSet, readOnly: true}),
	Entry(nil, "LISTEN orders", statementClass{kind: kindListen}),
)

var _ = DescribeTable("settings in SQL", func(sql, name, value string) {
	gotName, gotValue := parseSet([]byte(sql))
	Expect([]string{gotName, gotValue}).To(Equal([]string{name, value}))
},
	Entry(nil, "SET mulberry.token = 'a''b'", "mulberry.token", "a'b"),
	Entry(nil, "set SESSION Mulberry.Max_Age TO 250", "mulberry.max_age", "250"),
	Entry(nil, `SET "DateStyle" TO ISO, MDY`, "datestyle", "ISO"),
	Entry(nil, "SET TIME ZONE 'UTC'", "timezone", "UTC"),
	Entry(nil, "SET NAMES 'UTF8'", "client_encoding", "UTF8"),
	Entry(nil, "RESET ALL", "all", ""),
	Entry(nil, "SHOW mulberry.token", "mulberry.token", ""),
)

// Guards against SQL injection by startup values into the replayed SET.
var _ = DescribeTable("replayed startup values", func(name, value, want string) {
	Expect(startupSetSQL(name, value)).To(Equal(want))
},
	Entry(nil, "application_name", "a'; DROP TABLE t; --", "SET application_name = 'a''; DROP TABLE t; --'"),
	Entry(nil, "application_name", `a\'b`, `SET application_name =  E'a\\''b'`),
	Entry(nil, "search_path", `"$user", Public`, `SET search_path = "$user", "public"`),
	Entry(nil, "search_path", `a; DROP TABLE t`, `SET search_path = "a"`),
)

var _ = It("splits startup options", func() {
	Expect(splitOptions(`-c a=b\ c  --d=e\\`)).To(Equal([]string{"-c", "a=b c", `--d=e\`}))
})
