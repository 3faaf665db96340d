package document

import (
	"encoding/hex"
	"strings"

	"go.yaml.in/yaml/v3"
)

// maxNameBytes bounds every name in a document.
const maxNameBytes = 128

// hashBytes is the length of a SHA-256 hash.
const hashBytes = 32

// nameMarks are the characters besides letters and digits that a name may
// have after its first.
const nameMarks = "._/-"

// isName says whether a text is letters, digits and nameMarks.
func isName(text string) bool {
	for i := range len(text) {
		c := text[i]
		letter := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !letter && (i == 0 || strings.IndexByte(nameMarks, c) < 0) {
			return false
		}
	}
	return text != ""
}

// checker checks a decoded document as a whole.
type checker struct {
	*parser
	document *Document
}

// item is one entry of a section, for naming its places.
type item struct {
	section Section
	node    *yaml.Node
}

// item returns the i-th entry of a section.
func (c *checker) item(section Section, i int) item {
	list := c.nodes[section]
	if list == nil || list.Kind != yaml.SequenceNode || i >= len(list.Content) {
		return item{section, list}
	}
	return item{section, list.Content[i]}
}

// field returns the place of a key's value, or of the whole entry when the
// key is absent.
func (it item) field(key string) item {
	if it.node == nil || it.node.Kind != yaml.MappingNode {
		return it
	}
	for i := 0; i+1 < len(it.node.Content); i += 2 {
		if it.node.Content[i].Value == key {
			return item{it.section, it.node.Content[i+1]}
		}
	}
	return it
}

// at returns the place of the i-th value of a list.
func (it item) at(i int) item {
	if it.node == nil || it.node.Kind != yaml.SequenceNode || i >= len(it.node.Content) {
		return it
	}
	return item{it.section, it.node.Content[i]}
}

// fault records a fault at an entry.
func (c *checker) fault(it item, format string, args ...any) {
	at := place{section: c.placeSection(it.section), line: 1, column: 1}
	if it.node != nil {
		at.line, at.column = it.node.Line, it.node.Column
	}
	c.faults.add(at, format, args...)
}

// require records a fault unless ok.
func (c *checker) require(ok bool, it item, format string, args ...any) {
	if !ok {
		c.fault(it, format, args...)
	}
}

// indexName adds a name to an index and faults empty, ill-formed and double
// ones.
func (c *checker) indexName(positions map[string]int, name string, i int, it item) {
	_, twice := positions[name]
	switch {
	case name == "":
		c.fault(it, "a name is missing")
	case len(name) > maxNameBytes || !isName(name):
		c.fault(it, "%q must be letters, digits and . _ / -, at most %d bytes", name, maxNameBytes)
	case twice:
		c.fault(it, "%q stands twice", name)
	default:
		positions[name] = i
	}
}

// indexHash adds a key's hash to an index and faults what is no such hash.
func (c *checker) indexHash(positions map[string]int, hash string, i int, it item) {
	raw, err := hex.DecodeString(hash)
	_, twice := positions[hash]
	switch {
	case err != nil || len(raw) != hashBytes || hex.EncodeToString(raw) != hash:
		c.fault(it, "a key's hash must be SHA-256 in lower-case hex")
	case twice:
		c.fault(it, "the same key's hash stands twice")
	default:
		positions[hash] = i
	}
}

// indexNames fills the document's index.
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

// indexList indexes one section by name.
func indexList[T any](c *checker, section Section, key string, items []T, name func(T) string) map[string]int {
	positions := make(map[string]int, len(items))
	for i, it := range items {
		c.indexName(positions, name(it), i, c.item(section, i).field(key))
	}
	return positions
}

// indexWorkspaces indexes workspaces by name and key, unless the index was
// taken over with the section.
func (c *checker) indexWorkspaces() {
	x := &c.document.index
	if x.workspaces != nil {
		return
	}
	workspaces := c.document.Workspaces
	x.workspaces = indexList(c, SectionWorkspaces, "name", workspaces, func(w Workspace) string { return w.Name })
	x.keyHashes = make(map[string]int, len(workspaces))
	for i, workspace := range workspaces {
		it := c.item(SectionWorkspaces, i)
		c.require(len(workspace.KeyHashes) > 0, it, "workspace %q has no key_hashes", workspace.Name)
		for j, hash := range workspace.KeyHashes {
			c.indexHash(x.keyHashes, hash, i, it.field("key_hashes").at(j))
		}
		c.require(workspace.Share > 0, it.field("share"), "share must be over 0")
	}
}

// indexOwners indexes owners by team and key.
func (c *checker) indexOwners() {
	x := &c.document.index
	x.teams = indexList(c, SectionOwners, "team", c.document.Owners, func(o Owner) string { return o.Team })
	x.ownerKeys = make(map[string]int)
	for i, owner := range c.document.Owners {
		for j, hash := range owner.KeyHashes {
			c.indexHash(x.ownerKeys, hash, i, c.item(SectionOwners, i).field("key_hashes").at(j))
		}
	}
}

// indexChatModels indexes pipelines by the model they are offered as.
func (c *checker) indexChatModels() {
	c.document.index.chatModels = make(map[string]int)
	for i, pipeline := range c.document.Pipelines {
		if pipeline.ChatModel != "" {
			at := c.item(SectionPipelines, i).field("chat_model")
			c.indexName(c.document.index.chatModels, pipeline.ChatModel, i, at)
		}
	}
}
