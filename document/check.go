package document

import (
	"encoding/hex"
	"strings"

	"go.yaml.in/yaml/v3"
)

// maxNameBytes is the maximum length of a name in a document.
const maxNameBytes = 128

// hashBytes is the length of a SHA-256 hash in bytes.
const hashBytes = 32

// namePunctuation are the characters besides letters and digits that are
// allowed in a name, except as its first character.
const namePunctuation = "._/-"

// isValidName reports whether a text consists of letters, digits and
// namePunctuation and starts with a letter or digit.
func isValidName(text string) bool {
	for i := range len(text) {
		c := text[i]
		alphanumeric := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !alphanumeric && (i == 0 || strings.IndexByte(namePunctuation, c) < 0) {
			return false
		}
	}
	return text != ""
}

// checker validates a decoded document as a whole.
type checker struct {
	*parser
	document *Document
}

// nodeRef is a YAML node in a section, at which a problem is reported. The node
// is nil if the section was reused or is absent.
type nodeRef struct {
	section Section
	node    *yaml.Node
}

// entry returns the i-th entry of a section, or the section's value if there is
// no such entry.
func (c *checker) entry(section Section, i int) nodeRef {
	list := c.nodes[section]
	if list == nil || list.Kind != yaml.SequenceNode || i >= len(list.Content) {
		return nodeRef{section, list}
	}
	return nodeRef{section, list.Content[i]}
}

// field returns the node of a key's value, or ref itself if the key is absent.
func (ref nodeRef) field(key string) nodeRef {
	if ref.node == nil || ref.node.Kind != yaml.MappingNode {
		return ref
	}
	for i := 0; i+1 < len(ref.node.Content); i += 2 {
		if ref.node.Content[i].Value == key {
			return nodeRef{ref.section, ref.node.Content[i+1]}
		}
	}
	return ref
}

// element returns the i-th value of a list, or ref itself if there is no such
// value.
func (ref nodeRef) element(i int) nodeRef {
	if ref.node == nil || ref.node.Kind != yaml.SequenceNode || i >= len(ref.node.Content) {
		return ref
	}
	return nodeRef{ref.section, ref.node.Content[i]}
}

// report records a problem at a node.
func (c *checker) report(ref nodeRef, format string, args ...any) {
	at := position{section: c.positionSection(ref.section), line: 1, column: 1}
	if ref.node != nil {
		at.line, at.column = ref.node.Line, ref.node.Column
	}
	c.problems.add(at, format, args...)
}

// require records a problem at a node unless ok is true.
func (c *checker) require(ok bool, ref nodeRef, format string, args ...any) {
	if !ok {
		c.report(ref, format, args...)
	}
}

// indexName adds a name to an index. It reports empty, malformed and duplicate
// names instead.
func (c *checker) indexName(positions map[string]int, name string, i int, ref nodeRef) {
	_, duplicate := positions[name]
	switch {
	case name == "":
		c.report(ref, "a name is missing")
	case len(name) > maxNameBytes || !isValidName(name):
		c.report(ref, "%q must be letters, digits and . _ / -, at most %d bytes", name, maxNameBytes)
	case duplicate:
		c.report(ref, "%q stands twice", name)
	default:
		positions[name] = i
	}
}

// indexHash adds a key's hash to an index. It reports malformed and duplicate
// hashes instead.
func (c *checker) indexHash(positions map[string]int, hash string, i int, ref nodeRef) {
	raw, err := hex.DecodeString(hash)
	_, duplicate := positions[hash]
	switch {
	case err != nil || len(raw) != hashBytes || hex.EncodeToString(raw) != hash:
		c.report(ref, "a key's hash must be SHA-256 in lower-case hex")
	case duplicate:
		c.report(ref, "the same key's hash stands twice")
	default:
		positions[hash] = i
	}
}

// indexNames builds the document's index and checks the names in it.
func (c *checker) indexNames() {
	d := c.document
	x := &d.index
	x.dataCentres = indexList(c, SectionSites, "data_centre", d.Sites, func(s Site) string { return s.DataCentre })
	x.models = indexList(c, SectionModels, "name", d.Models, func(m Model) string { return m.Name })
	x.pools = indexList(c, SectionPools, "name", d.Pools, func(p Pool) string { return p.Name })
	x.stages = indexList(c, SectionStages, "name", d.Stages, func(s Stage) string { return s.Name })
	x.classes = indexList(c, SectionClasses, "name", d.Classes, func(k Class) string { return k.Name })
	x.pipelines = indexList(c, SectionPipelines, "name", d.Pipelines, func(p Pipeline) string { return p.Name })
	x.services = indexList(c, SectionServices, "name", d.Services, func(s Service) string { return s.Name })
	x.prices = indexList(c, SectionPrices, "pool", d.Prices, func(p Price) string { return p.Pool })
	c.indexWorkspaces()
	c.indexOwners()
	c.indexChatModels()
}

// indexList indexes the entries of a section by name.
func indexList[T any](c *checker, section Section, key string, items []T, name func(T) string) map[string]int {
	positions := make(map[string]int, len(items))
	for i, item := range items {
		c.indexName(positions, name(item), i, c.entry(section, i).field(key))
	}
	return positions
}

// indexWorkspaces indexes workspaces by name and key hash, and checks their keys
// and shares. It does nothing if the section and its index were reused from the
// previous document, where they were checked.
func (c *checker) indexWorkspaces() {
	x := &c.document.index
	if x.workspaces != nil {
		return
	}
	workspaces := c.document.Workspaces
	x.workspaces = indexList(c, SectionWorkspaces, "name", workspaces, func(w Workspace) string { return w.Name })
	x.keyHashes = make(map[string]int, len(workspaces))
	for i, workspace := range workspaces {
		ref := c.entry(SectionWorkspaces, i)
		c.require(len(workspace.KeyHashes) > 0, ref, "workspace %q has no key_hashes", workspace.Name)
		for j, hash := range workspace.KeyHashes {
			c.indexHash(x.keyHashes, hash, i, ref.field("key_hashes").element(j))
		}
		c.require(workspace.Share > 0, ref.field("share"), "share must be over 0")
	}
}

// indexOwners indexes owners by team and key hash.
func (c *checker) indexOwners() {
	x := &c.document.index
	x.teams = indexList(c, SectionOwners, "team", c.document.Owners, func(o Owner) string { return o.Team })
	x.ownerKeys = make(map[string]int)
	for i, owner := range c.document.Owners {
		for j, hash := range owner.KeyHashes {
			c.indexHash(x.ownerKeys, hash, i, c.entry(SectionOwners, i).field("key_hashes").element(j))
		}
	}
}

// indexChatModels indexes pipelines by the model name that selects them.
func (c *checker) indexChatModels() {
	c.document.index.chatModels = make(map[string]int)
	for i, pipeline := range c.document.Pipelines {
		if pipeline.ChatModel != "" {
			at := c.entry(SectionPipelines, i).field("chat_model")
			c.indexName(c.document.index.chatModels, pipeline.ChatModel, i, at)
		}
	}
}
