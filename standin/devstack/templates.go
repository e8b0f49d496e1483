package devstack

import (
	"bytes"
	"os"
	"strings"
	"text/template"

	"github.com/cockroachdb/errors"
)

// entryTemplate is the settings file of an entry daemon; entrySettings fills it.
var entryTemplate = template.Must(template.New("entry").Parse(`# Written by devstack.
id: {{.ID}}
zone: {{.Zone}}
clientAddress: {{.ClientAddress}}
peerAddress: {{.PeerAddress}}
adminAddress: {{.AdminAddress}}
metricsAddress: {{.MetricsAddress}}
platformURL: {{.PlatformURL}}
trustedKeys:
  {{.OperatorID}}: {{.OperatorKey}}
sessionTokenKeyFile: {{.SessionTokenKeyFile}}
peerSecretFile: {{.PeerSecretFile}}
adminTokenFile: {{.AdminTokenFile}}
drainTimeout: 5s
`))

// entrySettings are the values of entryTemplate.
type entrySettings struct {
	ID, Zone                                                 string
	ClientAddress, PeerAddress, AdminAddress, MetricsAddress string
	PlatformURL                                              string
	// OperatorID names the operator's key; OperatorKey is its public part in base64.
	OperatorID, OperatorKey                             string
	SessionTokenKeyFile, PeerSecretFile, AdminTokenFile string
}

// memberTemplate is the settings file of a member.
var memberTemplate = template.Must(template.New("member").Parse(`# Written by devstack.
listen: {{.Listen}}
replicationListen: {{.ReplicationListen}}
controlListen: {{.ControlListen}}
group: {{.Group}}
name: {{.Name}}
role: {{.Role}}
directory: {{.Directory}}
connections: {{.Connections}}
slots: {{.Slots}}
connectCostMs: {{.ConnectCostMS}}
applyLag: {{.ApplyLag}}
networkDelay: {{.NetworkDelay}}
fellows:
{{- range $name, $address := .Fellows}}
  {{$name}}: {{$address}}
{{- end}}
`))

// memberSettings are the values of memberTemplate.
type memberSettings struct {
	Listen, ReplicationListen, ControlListen string
	Group, Name, Role, Directory             string
	Connections, Slots                       int
	ConnectCostMS                            int64
	ApplyLag, NetworkDelay                   string
	Fellows                                  map[string]string
}

// publishTemplate holds the arguments of mulberryctl that publish the first
// bundle, one a line.
var publishTemplate = template.Must(template.New("publish").Parse(`bundle
publish
--server
{{.AdminURL}}
--token-file
{{.AdminTokenFile}}
{{.SignedBundle}}
`))

// publishValues are the values of publishTemplate.
type publishValues struct {
	// AdminURL is the base URL of one instance's administration API.
	AdminURL, AdminTokenFile, SignedBundle string
}

func (v publishValues) arguments() ([]string, error) {
	var b bytes.Buffer
	if err := publishTemplate.Execute(&b, v); err != nil {
		return nil, errors.Wrap(err, "arguments of mulberryctl")
	}
	return strings.Split(strings.TrimSpace(b.String()), "\n"), nil
}

// privateFile is the mode of files that may hold secrets.
const privateFile = 0o600

func writeTemplate(path string, t *template.Template, values any) error {
	var b bytes.Buffer
	if err := t.Execute(&b, values); err != nil {
		return errors.Wrapf(err, "write %s", path)
	}
	return errors.Wrap(os.WriteFile(path, b.Bytes(), privateFile), "write settings")
}
