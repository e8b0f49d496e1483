package devstack

import (
	"bytes"
	"os"
	"strings"
	"text/template"

	"github.com/cockroachdb/errors"
)

// instanceTemplate generates the settings file of an instance from instanceSettings.
var instanceTemplate = template.Must(template.New("instance").Parse(`# Written by devstack.
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

// instanceSettings are the values that instanceTemplate uses.
type instanceSettings struct {
	ID, Zone                                                 string
	ClientAddress, PeerAddress, AdminAddress, MetricsAddress string
	PlatformURL                                              string
	// OperatorID is the ID of the operator key. OperatorKey is its public key in
	// base64.
	OperatorID, OperatorKey                             string
	SessionTokenKeyFile, PeerSecretFile, AdminTokenFile string
}

// memberTemplate generates the settings file of a member from memberSettings.
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
{{- range $name, $address := .Peers}}
  {{$name}}: {{$address}}
{{- end}}
`))

// memberSettings are the values that memberTemplate uses.
type memberSettings struct {
	Listen, ReplicationListen, ControlListen string
	Group, Name, Role, Directory             string
	Connections, Slots                       int
	ConnectCostMS                            int64
	ApplyLag, NetworkDelay                   string
	Peers                                    map[string]string
}

// publishTemplate generates the mulberryctl arguments that publish the first
// bundle, one per line.
var publishTemplate = template.Must(template.New("publish").Parse(`bundle
publish
--server
{{.AdminURL}}
--token-file
{{.AdminTokenFile}}
{{.SignedBundle}}
`))

// publishValues are the values that publishTemplate uses.
type publishValues struct {
	// AdminURL is the base URL of the admin API of an instance.
	AdminURL, AdminTokenFile, SignedBundle string
}

// arguments returns the arguments that publishTemplate generates.
func (v publishValues) arguments() ([]string, error) {
	var b bytes.Buffer
	if err := publishTemplate.Execute(&b, v); err != nil {
		return nil, errors.Wrap(err, "generate arguments of mulberryctl")
	}
	return strings.Split(strings.TrimSpace(b.String()), "\n"), nil
}

// privateFileMode is the file mode of files that may contain secrets.
const privateFileMode = 0o600

func writeTemplate(path string, t *template.Template, values any) error {
	var b bytes.Buffer
	if err := t.Execute(&b, values); err != nil {
		return errors.Wrapf(err, "generate %s", path)
	}
	return errors.Wrap(os.WriteFile(path, b.Bytes(), privateFileMode), "write settings file")
}
