package document

import (
	"slices"
	"strings"
)

// checkAll checks every section against its own rules and the others.
func (c *checker) checkAll() {
	c.checkSites()
	c.checkModels()
	c.checkPools()
	c.checkStages()
	c.checkClasses()
	c.checkPipelines()
	c.checkServices()
	c.checkLimits()
	c.checkPrices()
	c.checkOwners()
}

func (c *checker) checkSites() {
	c.require(len(c.document.Sites) > 0, c.item(SectionSites, 0), "the document names no data centre")
	for i, site := range c.document.Sites {
		at := c.item(SectionSites, i).field("region")
		c.require(isName(site.Region), at, "a data centre needs a region")
	}
}

func (c *checker) checkModels() {
	for i, model := range c.document.Models {
		it := c.item(SectionModels, i)
		c.require(model.Version != "", it.field("version"), "model %q has no version", model.Name)
		c.require(model.MinCopies >= 0, it.field("min_copies"), "min_copies must not be negative")
		c.require(model.MaxCopies == 0 || model.MaxCopies >= max(model.MinCopies, 1), it.field("max_copies"),
			"max_copies must be at least min_copies")
		for j, adapter := range model.Adapters {
			at := it.field("adapters").at(j)
			c.require(isName(adapter), at, "%q is not an adapter's name", adapter)
			c.require(slices.Index(model.Adapters, adapter) == j, at, "adapter %q stands twice", adapter)
		}
	}
}

func (c *checker) checkPools() {
	for i, pool := range c.document.Pools {
		it := c.item(SectionPools, i)
		kinds := []Kind{KindEncode, KindRetrieve, KindRerank, KindGenerate, KindService}
		c.require(slices.Contains(kinds, pool.Kind), it.field("kind"),
			"kind %q is none of encode, retrieve, rerank, generate, service", pool.Kind)
		c.require(pool.Concurrency >= 1, it.field("concurrency"), "concurrency must be at least 1")
		c.require(isShare(pool.MaxSetAside), it.field("max_set_aside"), "max_set_aside must be from 0 to 1")
		c.require(!pool.ChecksFencing || pool.Kind == KindGenerate, it.field("checks_fencing"),
			"checks_fencing goes only with kind generate, whose upstreams take orders")
	}
}

func (c *checker) checkStages() {
	for i, stage := range c.document.Stages {
		it := c.item(SectionStages, i)
		pool, known := c.document.Pool(stage.Pool)
		c.require(known, it.field("pool"), "pool %q is not in pools", stage.Pool)
		c.require(stage.Kind != KindService, it.field("kind"), "a stage can't be of kind service")
		c.require(!known || pool.Kind == stage.Kind, it.field("kind"),
			"stage %q is of kind %q but pool %q is of kind %q", stage.Name, stage.Kind, stage.Pool, pool.Kind)
		c.require(stage.Typical > 0, it.field("typical"), "stage %q needs a typical time over 0", stage.Name)
		c.checkStageModel(stage, it)
		c.checkStageSizes(stage, it)
		c.checkFallback(stage, it.field("fallback"))
	}
}

// checkStageModel checks the model of a stage.
func (c *checker) checkStageModel(stage Stage, it item) {
	if stage.Model == "" {
		c.require(stage.Kind != KindGenerate, it, "generate stage %q names no model", stage.Name)
		return
	}
	_, known := c.document.Model(stage.Model)
	c.require(known, it.field("model"), "model %q is not in models", stage.Model)
}

// checkStageSizes checks the bounds that go with a stage's kind.
func (c *checker) checkStageSizes(stage Stage, it item) {
	c.require(stage.MaxTokens >= 0, it.field("max_tokens"), "max_tokens must be over 0")
	c.require(stage.MaxTokens == 0 || stage.Kind == KindGenerate, it.field("max_tokens"),
		"max_tokens goes only with kind generate")
	c.require(stage.TopK >= 0, it.field("top_k"), "top_k must be over 0")
	c.require(stage.TopK == 0 || stage.Kind == KindRetrieve || stage.Kind == KindRerank, it.field("top_k"),
		"top_k goes only with kinds retrieve and rerank")
}

// checkFallback checks that a fallback can stand in for its stage.
func (c *checker) checkFallback(stage Stage, it item) {
	fallback := stage.Fallback
	if fallback == nil {
		return
	}
	c.require(fallback.Skip != (fallback.Stage != ""), it, "a fallback needs either skip or a stage")
	c.require(!fallback.Skip || stage.Kind == KindRerank, it.field("skip"),
		"only a rerank stage can be skipped: later stages need the others' results")
	if fallback.Stage == "" {
		return
	}
	other, known := c.document.Stage(fallback.Stage)
	at := it.field("stage")
	c.require(known, at, "stage %q is not in stages", fallback.Stage)
	c.require(fallback.Stage != stage.Name, at, "a stage can't be its own fallback")
	c.require(!known || other.Kind == stage.Kind, at,
		"fallback %q is of kind %q, not %q", fallback.Stage, other.Kind, stage.Kind)
	c.require(!known || other.Fallback == nil, at, "fallback %q has a fallback itself", fallback.Stage)
}

func (c *checker) checkClasses() {
	for i, class := range c.document.Classes {
		it := c.item(SectionClasses, i)
		c.require(class.Priority >= 0, it.field("priority"), "priority must not be negative")
		c.require(class.Weigh == WeighAttainment || class.Weigh == WeighCost, it.field("weigh"),
			"weigh must be attainment or cost")
		c.require(class.Deadline > 0, it.field("deadline"), "class %q needs a deadline over 0", class.Name)
		c.require(isShare(class.RetryBudget), it.field("retry_budget"), "retry_budget must be from 0 to 1")
		c.require(!class.Hedge || class.RetryBudget > 0, it.field("hedge"),
			"hedge needs a retry_budget over 0: hedges are paid from it")
	}
}

func (c *checker) checkPipelines() {
	for i, pipeline := range c.document.Pipelines {
		it := c.item(SectionPipelines, i)
		class, known := c.document.Class(pipeline.Class)
		c.require(known, it.field("class"), "class %q is not in classes", pipeline.Class)
		c.require(!known || (pipeline.Deadline > 0 && pipeline.Deadline <= class.Deadline), it.field("deadline"),
			"deadline must be over 0 and at most that of class %q, %s", class.Name, class.Deadline.Std())
		c.checkPipelineStages(pipeline, it)
		for j, workspace := range pipeline.Workspaces {
			_, known := c.document.Workspace(workspace)
			c.require(known, it.field("workspaces").at(j), "workspace %q is not in workspaces", workspace)
		}
	}
}

// checkPipelineStages checks the order of stages and that they fit in time.
func (c *checker) checkPipelineStages(pipeline Pipeline, it item) {
	list := it.field("stages")
	c.require(len(pipeline.Stages) > 0, list, "pipeline %q has no stages", pipeline.Name)
	var total Duration
	chat := pipeline.ChatModel == ""
	for j, name := range pipeline.Stages {
		stage, known := c.document.Stage(name)
		c.require(known, list.at(j), "stage %q is not in stages", name)
		c.require(slices.Index(pipeline.Stages, name) == j, list.at(j), "stage %q stands twice", name)
		last := j == len(pipeline.Stages)-1
		c.require(stage.Kind != KindGenerate || last, list.at(j), "generate stage %q must stand last", name)
		chat = chat || (last && stage.Kind == KindGenerate)
		total += stage.Typical
	}
	c.require(chat, it.field("chat_model"), "chat_model needs a generate stage at the end")
	c.require(pipeline.Deadline == 0 || total <= pipeline.Deadline, list,
		"the stages' typical times are %s, over the deadline %s", total.Std(), pipeline.Deadline.Std())
}

func (c *checker) checkServices() {
	for i, service := range c.document.Services {
		it := c.item(SectionServices, i)
		pool, known := c.document.Pool(service.Pool)
		c.require(known, it.field("pool"), "pool %q is not in pools", service.Pool)
		c.require(!known || pool.Kind == KindService, it.field("pool"),
			"pool %q is of kind %q, not service", service.Pool, pool.Kind)
		_, known = c.document.Class(service.Class)
		c.require(known, it.field("class"), "class %q is not in classes", service.Class)
		c.require(len(service.Operations) > 0, it, "service %q has no operations", service.Name)
		c.checkOperations(service, it.field("operations"))
	}
}

// checkOperations checks the calls of one service.
func (c *checker) checkOperations(service Service, list item) {
	methods := []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}
	for j, operation := range service.Operations {
		it := list.at(j)
		c.require(slices.Contains(methods, operation.Method), it.field("method"),
			"method %q is none of %s", operation.Method, strings.Join(methods, ", "))
		c.require(isPath(operation.Path), it.field("path"),
			"path %q must start with / and have no query, empty or dot segment", operation.Path)
		same := func(o Operation) bool { return o.Method == operation.Method && o.Path == operation.Path }
		c.require(slices.IndexFunc(service.Operations, same) == j, it, "the operation stands twice")
		safe := operation.Method == "GET" || operation.Method == "HEAD"
		c.require(!safe || operation.Idempotent, it,
			"%s is idempotent by its definition: say idempotent: true", operation.Method)
	}
}

// isPath says whether a path can be matched and sent as it stands.
func isPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "?#%\\ \t\r\n\x00") {
		return false
	}
	for _, segment := range strings.Split(path[1:], "/") {
		if segment == "." || segment == ".." || (segment == "" && path != "/") {
			return false
		}
	}
	return true
}

func (c *checker) checkLimits() {
	type scope struct{ workspace, class string }
	seen := make(map[scope]bool, len(c.document.Limits))
	for i, limit := range c.document.Limits {
		it := c.item(SectionLimits, i)
		_, known := c.document.Workspace(limit.Workspace)
		c.require(known, it.field("workspace"), "workspace %q is not in workspaces", limit.Workspace)
		if limit.Class != "" {
			_, known = c.document.Class(limit.Class)
			c.require(known, it.field("class"), "class %q is not in classes", limit.Class)
		}
		c.require(limit.RequestsPerSecond >= 0 && limit.TokensPerSecond >= 0, it, "a limit must not be negative")
		c.require(limit.RequestsPerSecond > 0 || limit.TokensPerSecond > 0, it,
			"a limit needs requests_per_second or tokens_per_second")
		at := scope{limit.Workspace, limit.Class}
		c.require(!seen[at], it, "workspace %q has two limits for the same class", limit.Workspace)
		seen[at] = true
	}
}

func (c *checker) checkPrices() {
	for i, price := range c.document.Prices {
		it := c.item(SectionPrices, i)
		_, known := c.document.Pool(price.Pool)
		c.require(known, it.field("pool"), "pool %q is not in pools", price.Pool)
		c.require(price.PerSecond >= 0 && price.PerInputToken >= 0 && price.PerOutputToken >= 0, it,
			"a price must not be negative")
	}
}

// checkOwners checks that every section has somebody who may change it.
func (c *checker) checkOwners() {
	owned := make(map[Section]bool)
	for i, owner := range c.document.Owners {
		it := c.item(SectionOwners, i)
		c.require(len(owner.KeyHashes) > 0, it, "team %q has no key_hashes", owner.Team)
		c.require(len(owner.Sections) > 0, it, "team %q owns no section", owner.Team)
		for j, section := range owner.Sections {
			known := slices.Contains(Sections(), section)
			c.require(known, it.field("sections").at(j), "%q is not a section", section)
			owned[section] = true
		}
	}
	for _, section := range Sections() {
		c.require(owned[section], c.item(SectionOwners, len(c.document.Owners)), "no team owns section %q", section)
	}
}

// isShare says whether a value is a share of a whole.
func isShare(value float64) bool { return value >= 0 && value <= 1 }
