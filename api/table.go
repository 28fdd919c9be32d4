package api

import (
	"fmt"
	"strings"
)

// Markdown renders Table as the page docs/CODES.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString(codesPageHeader)
	category := Code(0)
	for _, info := range Table {
		if k := info.Code / 1000; k != category {
			category = k
			fmt.Fprintf(&b, "\n## %s\n\n%s", categories[k], tableHeader)
		}
		if info.Code == OK {
			fmt.Fprintf(&b, "\n%s", tableHeader)
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s | %s |\n",
			info.Code, info.Name, httpStatus(info.HTTP), info.Ran, yesNo(info.Retryable), info.Meaning)
	}
	return b.String()
}

const codesPageHeader = `# Result codes

Every refusal of daisytide has a result code: in the Daisytide-Code header of a
response, in the JSON of the operator listener, and in the output of the command
line. "Ran" says whether an upstream ran the request that the result belongs
to, as the Daisytide-Run header does; "-" means that there is no such
request. "Repeat" says whether the same request may be sent again without a
risk of a second run. docs/OPERATIONS.md says what to do for each.

This page is generated: ` + "`go run ./cmd/daisytide codes > docs/CODES.md`" + ` writes it,
and a test fails while it differs from the code.
`

const tableHeader = "| number | name | HTTP status | ran | repeat | meaning |\n|---|---|---|---|---|---|\n"

// categories maps the thousands of a code to the title of its table.
var categories = map[Code]string{
	1: "Documents",
	2: "Settings",
	3: "Operators",
	4: "Calls",
	5: "The platform's store",
	6: "Peers",
}

func httpStatus(status int) string {
	if status == 0 {
		return "-"
	}
	return fmt.Sprint(status)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
