package consistency

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/mulberrysill/mulberrysill/core/group"
	"github.com/mulberrysill/mulberrysill/core/verdict"
)

// Token is the content of a session token.
type Token struct {
	Group     string
	Workspace string
	// Position is the lowest log position that a member's visible state must have
	// reached before it serves the session's reads from the group.
	Position group.Position
}

// tokenContext is the domain separator of the MAC. With it, a MAC that was made
// with the same key for another purpose is not valid for a token. It includes the
// version of the encoding. "Signed" and "signature" refer to this HMAC.
const tokenContext = "mulberrysill session token 1\x00"

// maxTokenBytes is the maximum length of the text that Verify decodes. Sign does not
// enforce it.
const maxTokenBytes = 2048

// Sign returns the token in text form: the token's fields and their HMAC-SHA-256,
// in unpadded base64url. The text has no character that needs quoting in a
// startup option. Sign is safe for concurrent use.
func Sign(key []byte, t Token) string {
	body := appendName(nil, t.Group)
	body = appendName(body, t.Workspace)
	body = binary.AppendUvarint(body, t.Position.Term)
	body = binary.AppendUvarint(body, t.Position.Index)
	return base64.RawURLEncoding.EncodeToString(append(body, tokenMAC(key, body)...))
}

// Verify decodes the token in s. It returns a *verdict.Error with SQLSTATE 22023
// and verdict NotRun if s is too long or malformed, its MAC does not match the key,
// or it belongs to another group or workspace. Verify is safe for concurrent use.
func Verify(key []byte, s, groupName, workspace string) (Token, error) {
	if len(s) > maxTokenBytes {
		return Token{}, newTokenError("is longer than any valid token")
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(s)
	if err != nil || len(raw) < sha256.Size {
		return Token{}, newTokenError("is malformed")
	}
	body, mac := raw[:len(raw)-sha256.Size], raw[len(raw)-sha256.Size:]
	if !hmac.Equal(mac, tokenMAC(key, body)) {
		return Token{}, newTokenError("has an invalid signature")
	}
	t, ok := parseToken(body)
	switch {
	case !ok:
		return Token{}, newTokenError("is malformed")
	case t.Workspace != workspace:
		return Token{}, newTokenError("belongs to another workspace")
	case t.Group != groupName:
		return Token{}, newTokenError("belongs to another database group")
	}
	return t, nil
}

func newTokenError(fault string) error {
	return verdict.New(verdict.NotRun, verdict.InvalidParameter, "session token %s", fault)
}

func tokenMAC(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(tokenContext))
	h.Write(body)
	return h.Sum(nil)
}

func appendName(b []byte, name string) []byte {
	b = binary.AppendUvarint(b, uint64(len(name)))
	return append(b, name...)
}

func parseToken(b []byte) (Token, bool) {
	var t Token
	ok := cutName(&b, &t.Group) && cutName(&b, &t.Workspace) &&
		cutUvarint(&b, &t.Position.Term) && cutUvarint(&b, &t.Position.Index)
	return t, ok && len(b) == 0
}

func cutUvarint(b *[]byte, target *uint64) bool {
	v, n := binary.Uvarint(*b)
	if n <= 0 {
		return false
	}
	*target, *b = v, (*b)[n:]
	return true
}

func cutName(b *[]byte, target *string) bool {
	var n uint64
	if !cutUvarint(b, &n) || n > uint64(len(*b)) {
		return false
	}
	*target, *b = string((*b)[:n]), (*b)[n:]
	return true
}
