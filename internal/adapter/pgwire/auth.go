package pgwire

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"

	"github.com/laburnumrack/laburnumrack/internal/outcome"
)

// authenticate runs a SCRAM-SHA-256 exchange. An unknown caller gets the same error as a
// wrong password, so that names of callers can't be probed.
func (c *conn) authenticate() error {
	credentials, known := c.credentials()
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return err
	}
	conversation := server.NewConversation()
	c.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}})
	first, err := c.readInitialResponse()
	if err != nil {
		return err
	}
	challenge, err := conversation.Step(first)
	if err != nil {
		return fatal(outcome.AuthFailed, "authentication of caller %q failed", clip(c.caller))
	}
	c.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	last, err := c.readAuthMessage()
	if err != nil {
		return err
	}
	proof, err := conversation.Step(string(last))
	if err != nil || !conversation.Valid() || !known {
		return fatal(outcome.AuthFailed, "authentication of caller %q failed", clip(c.caller))
	}
	c.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(proof)})
	return nil
}

// credentials returns the stored credentials of the caller and true. For a caller that is
// unknown or has an invalid verifier, it returns decoy credentials and false.
func (c *conn) credentials() (scram.StoredCredentials, bool) {
	caller, ok := c.server.config.Configuration.Current().Callers[c.caller]
	if ok {
		credentials, err := parseVerifier(caller.Value.Verifier)
		if err == nil {
			return credentials, true
		}
	}
	return decoyCredentials(c.server.decoySecret[:], c.caller), false
}

func (c *conn) readInitialResponse() (string, error) {
	body, err := c.readAuthMessage()
	if err != nil {
		return "", err
	}
	var m pgproto3.SASLInitialResponse
	if err := m.Decode(body); err != nil {
		return "", fatal(outcome.Malformed, "invalid SASL response: %v", err)
	}
	if m.AuthMechanism != scramMechanism {
		return "", fatal(outcome.AuthFailed, "SASL mechanism %q is not supported, use %s", clip(m.AuthMechanism), scramMechanism)
	}
	return string(m.Data), nil
}

// readAuthMessage flushes the write buffer and returns the body of the next message,
// which must be of type p (a password or SASL message).
func (c *conn) readAuthMessage() ([]byte, error) {
	if err := c.out.Flush(); err != nil {
		return nil, err
	}
	f, buf, err := readFrame(c.in, c.readBuffer, maxAuthMessageBytes, c.charge)
	c.readBuffer = buf
	if err != nil {
		return nil, frameError(err)
	}
	if f.kind != 'p' {
		return nil, fatal(outcome.Malformed, "unexpected message type %q during authentication", f.kind)
	}
	return f.body(), nil
}
