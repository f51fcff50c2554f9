package fgcommand

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
	"github.com/spf13/cobra"
)

// outputFormat is the value of --output.
type outputFormat string

// The output formats.
const (
	outputTable outputFormat = "table"
	outputJSON  outputFormat = "json"
	outputYAML  outputFormat = "yaml"
)

func (o *outputFormat) String() string { return string(*o) }

// Set parses the name of a format.
func (o *outputFormat) Set(text string) error {
	switch f := outputFormat(text); f {
	case outputTable, outputJSON, outputYAML:
		*o = f
		return nil
	default:
		return fmt.Errorf("accepted are table, json and yaml")
	}
}

// Type returns the placeholder for the value in the help text.
func (o *outputFormat) Type() string { return "table|json|yaml" }

func (o *outputFormat) addFlag(cmd *cobra.Command) {
	*o = outputTable
	cmd.Flags().VarP(o, "output", "o", "format of the output")
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{"table", "json", "yaml"}, cobra.ShellCompDirectiveNoFileComp))
}

// table holds rows of cells, the first of which is usually a header.
type table [][]string

// print writes value in the chosen format. rows is the table format of value.
func (o *outputFormat) print(w io.Writer, value any, rows table) error {
	if *o == outputTable {
		return rows.print(w)
	}
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	if *o == outputYAML {
		if data, err = yaml.JSONToYAML(data); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(w, strings.TrimRight(string(data), "\n"))
	return err
}

// print writes the rows with aligned columns, and "-" for empty cells.
func (t table) print(w io.Writer) error {
	const columnGap = 3
	out := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, row := range t {
		for i, cell := range row {
			if cell == "" {
				row[i] = "-"
			}
		}
		_, _ = fmt.Fprintln(out, strings.Join(row, "\t"))
	}
	return out.Flush()
}
