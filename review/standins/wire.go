package main

import (
	"embed"
	"encoding/json"
	"strings"
	"text/template"
)

// The platform's names and messages are data: no Go source outside platform/ may hold
// them.
//
//go:embed wire.json *.tmpl
var files embed.FS

var templates = template.Must(template.ParseFS(files, "*.tmpl"))

// wire holds names of header fields, query parameters, keys and paths.
var wire = readWire()

type wireNames struct {
	Attempt, Deadline, Expected, Instance, NotRun, Load, Signature string
	Prefix, Wait, More, Revision                                   string
	Servers, Operator, Config, Ready, Settings                     string
}

func readWire() wireNames {
	data, err := files.ReadFile("wire.json")
	if err != nil {
		panic(err)
	}
	var w wireNames
	if err := json.Unmarshal(data, &w); err != nil {
		panic(err)
	}
	return w
}

// message fills in a template.
func message(name string, fields any) []byte {
	var b strings.Builder
	if err := templates.ExecuteTemplate(&b, name, fields); err != nil {
		panic(err)
	}
	return []byte(b.String())
}
