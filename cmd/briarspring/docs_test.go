package main

import (
	"os"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestCommandsAreDocumented checks that docs/commands.md lists every command with
// its current help text.
func TestCommandsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/commands.md")
	require.NoError(t, err)
	parser, err := kong.New(&cli{}, kong.Name("briarspring"))
	require.NoError(t, err)
	assert.Equal(t, commandsPage(parser.Model), string(page),
		"outdated page; write it again: go test ./cmd/briarspring -run CommandsAreDocumented -write-commands")
}

func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[len(os.Args)-1] == "-write-commands" {
		parser := kong.Must(&cli{}, kong.Name("briarspring"))
		if err := os.WriteFile("../../docs/commands.md", []byte(commandsPage(parser.Model)), 0o600); err != nil {
			panic(err)
		}
		os.Args = os.Args[:len(os.Args)-1]
	}
	os.Exit(m.Run())
}

// commandsPage returns the reference of all commands in Markdown.
func commandsPage(model *kong.Application) string {
	page := "# Commands\n\nKept up to date by a test. `briarspring COMMAND --help` lists the flags.\n\n| command | description |\n| --- | --- |\n"
	for _, leaf := range model.Leaves(true) {
		page += "| `" + leaf.FullPath() + "` | " + leaf.Help + " |\n"
	}
	return page
}
