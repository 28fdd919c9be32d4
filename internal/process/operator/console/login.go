package console

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Name, lifetime and path of the login cookie.
const (
	cookieName = "daisytide-session"
	loginTTL   = 8 * time.Hour
	cookiePath = "/console"
)

// cookieSigner creates and verifies login cookies. Nothing is stored on the
// host: the cookie holds the operator's name and its expiry, signed with a key
// derived from the operator token, so that every node with that token accepts
// it.
type cookieSigner struct {
	key []byte
}

func newCookieSigner(token string) cookieSigner {
	mac := hmac.New(sha256.New, []byte(token))
	mac.Write([]byte("console session"))
	return cookieSigner{key: mac.Sum(nil)}
}

func (s cookieSigner) sign(purpose, text string) string {
	mac := hmac.New(sha256.New, s.key)
	mac.Write([]byte(purpose + "\n" + text))
	return hex.EncodeToString(mac.Sum(nil))
}

// tokenMatches compares in constant time, also if the lengths differ.
func tokenMatches(given, want string) bool {
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(want))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}

// newCookie returns the login cookie of an operator.
func (s cookieSigner) newCookie(operator string, now time.Time, secure bool) *http.Cookie {
	expiry := now.Add(loginTTL)
	text := base64.RawURLEncoding.EncodeToString([]byte(operator)) + "." + strconv.FormatInt(expiry.Unix(), 10)
	return &http.Cookie{
		Name:     cookieName,
		Value:    text + "." + s.sign("cookie", text),
		Path:     cookiePath,
		Expires:  expiry,
		HttpOnly: true,
		Secure:   secure,
		SameSite: http.SameSiteStrictMode,
	}
}

// login is a signed-in operator.
type login struct {
	operator string
	// formToken is the token that every form of the login carries.
	formToken string
}

// readLogin returns the login from a request's cookie; ok is false if the
// cookie is absent, invalid or expired.
func (s cookieSigner) readLogin(r *http.Request, now time.Time) (user login, ok bool) {
	c, err := r.Cookie(cookieName)
	if err != nil {
		return user, false
	}
	dot := strings.LastIndexByte(c.Value, '.')
	if dot < 0 {
		return user, false
	}
	text, signature := c.Value[:dot], c.Value[dot+1:]
	if !hmac.Equal([]byte(signature), []byte(s.sign("cookie", text))) {
		return user, false
	}
	name, expiry, _ := strings.Cut(text, ".")
	operator, err := base64.RawURLEncoding.DecodeString(name)
	seconds, expiryErr := strconv.ParseInt(expiry, 10, 64)
	if err != nil || expiryErr != nil || now.Unix() >= seconds {
		return user, false
	}
	return login{operator: string(operator), formToken: s.sign("form", c.Value)}, true
}
