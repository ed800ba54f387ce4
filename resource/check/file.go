package check

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/resource"
)

// File is a file of resources.
type File struct {
	// Resources are the resources that can be decoded. Of several with the same
	// kind and name it has the last, as apply does.
	Resources []resource.Resource
	// Findings are the faults of the file itself.
	Findings  []Finding
	documents map[resource.Key]resource.Document
}

// ReadFile reads a file of resources. The error is that of the reader; faults of the
// text are findings.
func ReadFile(in io.Reader) (*File, error) {
	f := &File{documents: make(map[resource.Key]resource.Document)}
	docs, err := resource.ParseDocuments(in)
	var syntax *resource.SyntaxError
	if errors.As(err, &syntax) {
		f.Findings = []Finding{{Code: CodeSyntax, Severity: SeverityError, Line: syntax.Line, Message: syntax.Message}}
		return f, nil
	}
	if err != nil {
		return nil, err
	}
	for _, d := range docs {
		f.add(d)
	}
	return f, nil
}

func (f *File) add(d resource.Document) {
	r := d.Resource
	for _, p := range d.Problems() {
		f.Findings = append(f.Findings, Finding{
			Code: CodeDocument, Severity: SeverityError, Line: p.Line, Kind: r.Kind, Name: r.Name, Field: p.Field, Message: p.Message,
		})
	}
	if d.Err != nil {
		return
	}
	if earlier, ok := f.documents[r.Key()]; ok {
		f.Findings = append(f.Findings, Finding{
			Code: CodeDuplicate, Severity: SeverityWarning, Line: earlier.Line("name"), Kind: r.Kind, Name: r.Name,
			Message: fmt.Sprintf("line %d declares it again, which replaces this declaration", d.Line("name")),
		})
		for i, other := range f.Resources {
			if other.Key() == r.Key() {
				f.Resources[i] = r
			}
		}
	} else {
		f.Resources = append(f.Resources, r)
	}
	f.documents[r.Key()] = d
}

// Locate returns the findings with the lines of the file.
func (f *File) Locate(list []Finding) []Finding {
	var out []Finding
	for _, finding := range list {
		if d, ok := f.documents[resource.Key{Kind: finding.Kind, Name: finding.Name}]; ok {
			finding.Line = d.Line(finding.Field)
		}
		out = append(out, finding)
	}
	return out
}
