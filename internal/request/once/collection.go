package once

// Gate is one incarnation of a gate in the roster.
type Gate struct {
	// Address is the node's peer listener.
	Address string `cbor:"1,keyasint"`
	// Instance is random and differs at each start of the process.
	Instance uint64 `cbor:"2,keyasint"`
}

// Verdict is what an attempt may do after what it heard from the gates.
type Verdict uint8

// The verdicts, the strongest last.
const (
	// Collecting: gates are still to answer.
	Collecting Verdict = iota
	// Held: every gate has granted the fence; the attempt may run.
	Held
	// Lost: a gate could not be asked.
	Lost
	// Reread: a gate joined meanwhile; read the roster again.
	Reread
	// Beaten: a later attempt holds a fence.
	Beaten
	// Answered: a record tells what became of the key.
	Answered
	// Clashed: the key belongs to a different request.
	Clashed
)

// Collection gathers the answers of the gates to one attempt. Answers may
// come in any order.
type Collection struct {
	waiting int
	verdict Verdict
	// Record is the furthest record heard of.
	Record Reply
}

// Reply is a gate's answer to a Question.
type Reply struct {
	Grant Grant `cbor:"1,keyasint"`
	// State is the record when Grant is Found.
	State State `cbor:"2,keyasint"`
	// Answer is the saved answer, nil where none was kept.
	Answer *Answer `cbor:"3,keyasint,omitempty"`
}

// Collect starts a collection over a number of gates. Without any gate
// nothing can run, and the outcome is unknown.
func Collect(gates int) Collection {
	c := Collection{waiting: gates}
	if gates == 0 {
		c.verdict = Lost
	}
	return c
}

// Heard takes one gate's answer.
func (c *Collection) Heard(r Reply) {
	c.waiting--
	switch r.Grant {
	case Granted:
	case Found:
		c.raise(Answered)
		if r.State.Phase > c.Record.State.Phase {
			c.Record = r
		}
	case Outbid:
		c.raise(Beaten)
	case Stale:
		c.raise(Reread)
	case Clash:
		c.raise(Clashed)
	default:
		c.raise(Lost)
	}
}

// Missed takes note of a gate that could not be asked, or whose answer was lost.
func (c *Collection) Missed() {
	c.waiting--
	c.raise(Lost)
}

func (c *Collection) raise(v Verdict) { c.verdict = max(c.verdict, v) }

// Verdict returns what the attempt may do. Only when every gate has granted
// the fence is it Held; a record or a clash settles it at once.
func (c *Collection) Verdict() Verdict {
	if c.waiting > 0 && c.verdict < Answered {
		return Collecting
	}
	return max(c.verdict, Held)
}
