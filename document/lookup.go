package document

// index maps the names in a document to positions in the document's slices.
type index struct {
	dataCentres map[string]int
	models      map[string]int
	pools       map[string]int
	stages      map[string]int
	classes     map[string]int
	pipelines   map[string]int
	chatModels  map[string]int
	services    map[string]int
	workspaces  map[string]int
	keyHashes   map[string]int
	teams       map[string]int
	ownerKeys   map[string]int
	prices      map[string]int
}

// find returns the item with a name from an index, and whether there is one.
func find[T any](items []T, positions map[string]int, name string) (T, bool) {
	i, ok := positions[name]
	if !ok {
		var none T
		return none, false
	}
	return items[i], true
}

// Site returns the site of a data centre.
func (d *Document) Site(dataCentre string) (Site, bool) {
	return find(d.Sites, d.index.dataCentres, dataCentre)
}

// Model returns a model by name.
func (d *Document) Model(name string) (Model, bool) {
	return find(d.Models, d.index.models, name)
}

// Pool returns a pool by name.
func (d *Document) Pool(name string) (Pool, bool) {
	return find(d.Pools, d.index.pools, name)
}

// Stage returns a stage by name.
func (d *Document) Stage(name string) (Stage, bool) {
	return find(d.Stages, d.index.stages, name)
}

// Class returns a class by name.
func (d *Document) Class(name string) (Class, bool) {
	return find(d.Classes, d.index.classes, name)
}

// Pipeline returns a pipeline by name.
func (d *Document) Pipeline(name string) (Pipeline, bool) {
	return find(d.Pipelines, d.index.pipelines, name)
}

// ChatPipeline returns the pipeline that a model name selects on the chat
// completions path.
func (d *Document) ChatPipeline(model string) (Pipeline, bool) {
	return find(d.Pipelines, d.index.chatModels, model)
}

// Service returns a service by name.
func (d *Document) Service(name string) (Service, bool) {
	return find(d.Services, d.index.services, name)
}

// Workspace returns a workspace by name.
func (d *Document) Workspace(name string) (Workspace, bool) {
	return find(d.Workspaces, d.index.workspaces, name)
}

// WorkspaceByKeyHash returns the workspace of a caller's key, by the key's
// SHA-256 hash in lower-case hex.
func (d *Document) WorkspaceByKeyHash(hash string) (Workspace, bool) {
	return find(d.Workspaces, d.index.keyHashes, hash)
}

// Owner returns an owner by the team's name.
func (d *Document) Owner(team string) (Owner, bool) {
	return find(d.Owners, d.index.teams, team)
}

// OwnerByKeyHash returns the owner of an operator key, by the key's SHA-256 hash
// in lower-case hex.
func (d *Document) OwnerByKeyHash(hash string) (Owner, bool) {
	return find(d.Owners, d.index.ownerKeys, hash)
}

// Price returns the price of a pool's work.
func (d *Document) Price(pool string) (Price, bool) {
	return find(d.Prices, d.index.prices, pool)
}

// Allows reports whether the owner may change a section.
func (o Owner) Allows(section Section) bool {
	for _, owned := range o.Sections {
		if owned == section {
			return true
		}
	}
	return false
}

// AllowsWorkspace reports whether a workspace may use the pipeline.
func (p Pipeline) AllowsWorkspace(workspace string) bool {
	if len(p.Workspaces) == 0 {
		return true
	}
	for _, allowed := range p.Workspaces {
		if allowed == workspace {
			return true
		}
	}
	return false
}
