package resource

import (
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Document is one YAML document with the places of its fields.
type Document struct {
	// Resource is the decoded resource. If Err is set, only Kind and Name are, as far
	// as they can be read.
	Resource Resource
	// Err says why the document is not a resource.
	Err  error
	body ast.Node
}

// SyntaxError reports text that is not YAML.
type SyntaxError struct {
	// Line is the line of the error, from 1.
	Line int
	// Message says what is wrong.
	Message string
}

// Error implements error.
func (e *SyntaxError) Error() string {
	return "line " + strconv.Itoa(e.Line) + ": " + e.Message
}

// Unwrap returns ErrInvalid.
func (e *SyntaxError) Unwrap() error { return ErrInvalid }

// ParseDocuments reads a stream of YAML documents with one resource each. Empty
// documents are left out. It returns a *SyntaxError if the text is not YAML; other
// faults are in the documents.
func ParseDocuments(in io.Reader) ([]Document, error) {
	data, err := io.ReadAll(in)
	if err != nil {
		return nil, errors.Wrap(err, "read YAML")
	}
	file, err := parseFile(data)
	if err != nil {
		line, message := yamlPlace(err)
		return nil, &SyntaxError{Line: max(1, line), Message: message}
	}
	var out []Document
	dec := yaml.NewDecoder(strings.NewReader(""), yaml.Strict())
	for _, doc := range file.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.NullType || doc.Body.Type() == ast.DirectiveType {
			continue
		}
		d := Document{body: doc.Body}
		if d.Err = dec.DecodeFromNode(doc.Body, &d.Resource); d.Err != nil {
			d.Resource = Resource{Kind: Kind(scalar(lookup(doc.Body, "kind"))), Name: scalar(lookup(doc.Body, "name"))}
		}
		out = append(out, d)
	}
	return out, nil
}

// parseFile parses a stream of documents. The parser drops all that follows a document
// that is empty or has only comments, so the separators of these and all comments are
// removed first.
func parseFile(data []byte) (*ast.File, error) {
	tokens := slices.DeleteFunc(lexer.Tokenize(string(data)), func(t *token.Token) bool { return t.Type == token.CommentType })
	separates := func(t *token.Token) bool {
		return t.Type == token.DocumentHeaderType || t.Type == token.DocumentEndType
	}
	tokens = slices.CompactFunc(tokens, func(a, b *token.Token) bool { return separates(a) && separates(b) })
	return parser.Parse(tokens, 0)
}

// FieldProblem is a fault of one field that prevents the document from being
// decoded.
type FieldProblem struct {
	// Line is the line of the fault, from 1.
	Line int
	// Field is the path of the field, empty if the fault is not that of one field.
	Field string
	// Message says what is wrong.
	Message string
}

// Problems returns why the document cannot be decoded: one entry for each field of
// the spec that cannot, or one for the document.
func (d Document) Problems() []FieldProblem {
	if d.Err == nil {
		return nil
	}
	var out []FieldProblem
	if mapping, ok := lookup(d.body, "spec").(*ast.MappingNode); ok {
		for _, entry := range mapping.Values {
			spec, err := newSpec(d.Resource.Kind)
			if err != nil {
				break
			}
			alone := ast.Mapping(mapping.Start, mapping.IsFlowStyle, entry)
			if err := yaml.NodeToValue(alone, spec, yaml.Strict()); err != nil {
				out = append(out, problemAt(entry.Key.GetToken(), entry.Key.String(), err))
			}
		}
	}
	if len(out) == 0 {
		out = append(out, problemAt(firstToken(d.body), "", d.Err))
	}
	return out
}

func problemAt(fallback *token.Token, field string, err error) FieldProblem {
	line, message := yamlPlace(err)
	if line == 0 {
		line = tokenLine(fallback)
	}
	return FieldProblem{Line: line, Field: field, Message: message}
}

// yamlPlace returns the line of a YAML error, 0 if it has none, and its message
// without the quotation of the source.
func yamlPlace(err error) (int, string) {
	var place yaml.Error
	if errors.As(err, &place) {
		return tokenLine(place.GetToken()), place.GetMessage()
	}
	return 0, strings.TrimSuffix(err.Error(), ": "+ErrInvalid.Error())
}

func tokenLine(t *token.Token) int {
	if t == nil || t.Position == nil {
		return 0
	}
	return t.Position.Line
}

// Line returns the line of a field, which is named as in FieldError, or that of the
// name if the field is empty. It returns that of the nearest enclosing entry if the
// document does not contain the field.
func (d Document) Line(field string) int {
	if field == "" {
		field = "name"
	}
	line := tokenLine(firstToken(d.body))
	for _, path := range strings.Split(field, ", ") {
		if at, found := d.find(path); found {
			return at
		}
	}
	at, _ := d.find(strings.Split(field, ", ")[0])
	return max(line, at)
}

var pathPart = regexp.MustCompile(`[a-z_]+|\[\d+\]`)

// find follows a path and returns the line of the last part that exists, and whether
// that is the whole path.
func (d Document) find(path string) (int, bool) {
	parts := pathPart.FindAllString(path, -1)
	if path != "name" && path != "kind" {
		parts = append([]string{"spec"}, parts...)
	}
	line, node := 0, d.body
	for _, part := range parts {
		if index, ok := strings.CutPrefix(part, "["); ok {
			list, isList := node.(*ast.SequenceNode)
			i, err := strconv.Atoi(strings.TrimSuffix(index, "]"))
			if !isList || err != nil || i >= len(list.Values) {
				return line, false
			}
			node = list.Values[i]
			line = tokenLine(firstToken(node))
			continue
		}
		entry := lookupEntry(node, part)
		if entry == nil {
			return line, false
		}
		line, node = tokenLine(entry.Key.GetToken()), entry.Value
	}
	return line, true
}

// firstToken returns the token with which a node begins. The token of a mapping in
// block style is that of a colon.
func firstToken(n ast.Node) *token.Token {
	if entries := mappingEntries(n); len(entries) > 0 {
		return entries[0].Key.GetToken()
	}
	return n.GetToken()
}

func mappingEntries(n ast.Node) []*ast.MappingValueNode {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}
	}
	return nil
}

func lookupEntry(n ast.Node, key string) *ast.MappingValueNode {
	for _, entry := range mappingEntries(n) {
		if scalar(entry.Key) == key {
			return entry
		}
	}
	return nil
}

func lookup(n ast.Node, key string) ast.Node {
	if entry := lookupEntry(n, key); entry != nil {
		return entry.Value
	}
	return nil
}

// scalar returns the text of a scalar, empty for other nodes.
func scalar(n ast.Node) string {
	if s, ok := n.(ast.ScalarNode); ok {
		if text, ok := s.GetValue().(string); ok {
			return text
		}
	}
	return ""
}
