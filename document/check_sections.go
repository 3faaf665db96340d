package document

import (
	"slices"
	"strings"
)

// checkAll checks the rules of every section, and its references to others.
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
	c.require(len(c.document.Sites) > 0, c.entry(SectionSites, 0), "the document names no data centre")
	for i, site := range c.document.Sites {
		at := c.entry(SectionSites, i).field("region")
		c.require(isValidName(site.Region), at, "a data centre needs a region")
	}
}

func (c *checker) checkModels() {
	for i, model := range c.document.Models {
		ref := c.entry(SectionModels, i)
		c.require(model.Version != "", ref.field("version"), "model %q has no version", model.Name)
		c.require(model.MinCopies >= 0, ref.field("min_copies"), "min_copies must not be negative")
		c.require(model.MaxCopies == 0 || model.MaxCopies >= max(model.MinCopies, 1), ref.field("max_copies"),
			"max_copies must be at least min_copies")
		for j, adapter := range model.Adapters {
			at := ref.field("adapters").element(j)
			c.require(isValidName(adapter), at, "%q is not an adapter's name", adapter)
			c.require(slices.Index(model.Adapters, adapter) == j, at, "adapter %q stands twice", adapter)
		}
	}
}

func (c *checker) checkPools() {
	for i, pool := range c.document.Pools {
		ref := c.entry(SectionPools, i)
		kinds := []Kind{KindEncode, KindRetrieve, KindRerank, KindGenerate, KindService}
		c.require(slices.Contains(kinds, pool.Kind), ref.field("kind"),
			"kind %q is none of encode, retrieve, rerank, generate, service", pool.Kind)
		c.require(pool.Concurrency >= 1, ref.field("concurrency"), "concurrency must be at least 1")
		c.require(isFraction(pool.MaxSetAside), ref.field("max_set_aside"), "max_set_aside must be from 0 to 1")
		c.require(!pool.ChecksFencing || pool.Kind == KindGenerate, ref.field("checks_fencing"),
			"checks_fencing goes only with kind generate, whose upstreams take orders")
	}
}

func (c *checker) checkStages() {
	for i, stage := range c.document.Stages {
		ref := c.entry(SectionStages, i)
		pool, known := c.document.Pool(stage.Pool)
		c.require(known, ref.field("pool"), "pool %q is not in pools", stage.Pool)
		c.require(stage.Kind != KindService, ref.field("kind"), "a stage can't be of kind service")
		c.require(!known || pool.Kind == stage.Kind, ref.field("kind"),
			"stage %q is of kind %q but pool %q is of kind %q", stage.Name, stage.Kind, stage.Pool, pool.Kind)
		c.require(stage.TypicalDuration > 0, ref.field("typical"), "stage %q needs a typical time over 0", stage.Name)
		c.checkStageModel(stage, ref)
		c.checkStageSizes(stage, ref)
		c.checkFallback(stage, ref.field("fallback"))
	}
}

// checkStageModel checks a stage's reference to its model.
func (c *checker) checkStageModel(stage Stage, ref nodeRef) {
	if stage.Model == "" {
		c.require(stage.Kind != KindGenerate, ref, "generate stage %q names no model", stage.Name)
		return
	}
	_, known := c.document.Model(stage.Model)
	c.require(known, ref.field("model"), "model %q is not in models", stage.Model)
}

// checkStageSizes checks the size limits, which are allowed only for some kinds.
func (c *checker) checkStageSizes(stage Stage, ref nodeRef) {
	c.require(stage.MaxTokens >= 0, ref.field("max_tokens"), "max_tokens must be over 0")
	c.require(stage.MaxTokens == 0 || stage.Kind == KindGenerate, ref.field("max_tokens"),
		"max_tokens goes only with kind generate")
	c.require(stage.TopK >= 0, ref.field("top_k"), "top_k must be over 0")
	c.require(stage.TopK == 0 || stage.Kind == KindRetrieve || stage.Kind == KindRerank, ref.field("top_k"),
		"top_k goes only with kinds retrieve and rerank")
}

// checkFallback checks that a fallback can replace its stage.
func (c *checker) checkFallback(stage Stage, ref nodeRef) {
	fallback := stage.Fallback
	if fallback == nil {
		return
	}
	c.require(fallback.Skip != (fallback.Stage != ""), ref, "a fallback needs either skip or a stage")
	c.require(!fallback.Skip || stage.Kind == KindRerank, ref.field("skip"),
		"only a rerank stage can be skipped: later stages need the others' results")
	if fallback.Stage == "" {
		return
	}
	other, known := c.document.Stage(fallback.Stage)
	at := ref.field("stage")
	c.require(known, at, "stage %q is not in stages", fallback.Stage)
	c.require(fallback.Stage != stage.Name, at, "a stage can't be its own fallback")
	c.require(!known || other.Kind == stage.Kind, at,
		"fallback %q is of kind %q, not %q", fallback.Stage, other.Kind, stage.Kind)
	c.require(!known || other.Fallback == nil, at, "fallback %q has a fallback itself", fallback.Stage)
}

func (c *checker) checkClasses() {
	for i, class := range c.document.Classes {
		ref := c.entry(SectionClasses, i)
		c.require(class.Priority >= 0, ref.field("priority"), "priority must not be negative")
		c.require(class.Objective == ObjectiveAttainment || class.Objective == ObjectiveCost, ref.field("weigh"),
			"weigh must be attainment or cost")
		c.require(class.Deadline > 0, ref.field("deadline"), "class %q needs a deadline over 0", class.Name)
		c.require(isFraction(class.RetryBudget), ref.field("retry_budget"), "retry_budget must be from 0 to 1")
		c.require(!class.Hedge || class.RetryBudget > 0, ref.field("hedge"),
			"hedge needs a retry_budget over 0: hedges are paid from it")
	}
}

func (c *checker) checkPipelines() {
	for i, pipeline := range c.document.Pipelines {
		ref := c.entry(SectionPipelines, i)
		class, known := c.document.Class(pipeline.Class)
		c.require(known, ref.field("class"), "class %q is not in classes", pipeline.Class)
		c.require(!known || (pipeline.Deadline > 0 && pipeline.Deadline <= class.Deadline), ref.field("deadline"),
			"deadline must be over 0 and at most that of class %q, %s", class.Name, class.Deadline.Std())
		c.checkPipelineStages(pipeline, ref)
		for j, workspace := range pipeline.Workspaces {
			_, known := c.document.Workspace(workspace)
			c.require(known, ref.field("workspaces").element(j), "workspace %q is not in workspaces", workspace)
		}
	}
}

// checkPipelineStages checks the order of the stages, and that the sum of their
// typical durations is within the deadline.
func (c *checker) checkPipelineStages(pipeline Pipeline, ref nodeRef) {
	list := ref.field("stages")
	c.require(len(pipeline.Stages) > 0, list, "pipeline %q has no stages", pipeline.Name)
	var total Duration
	chatModelAllowed := pipeline.ChatModel == ""
	for j, name := range pipeline.Stages {
		stage, known := c.document.Stage(name)
		c.require(known, list.element(j), "stage %q is not in stages", name)
		c.require(slices.Index(pipeline.Stages, name) == j, list.element(j), "stage %q stands twice", name)
		last := j == len(pipeline.Stages)-1
		c.require(stage.Kind != KindGenerate || last, list.element(j), "generate stage %q must stand last", name)
		chatModelAllowed = chatModelAllowed || (last && stage.Kind == KindGenerate)
		total += stage.TypicalDuration
	}
	if c.isNew != nil && c.isNew(pipeline) {
		c.checkFlow(pipeline, list)
	}
	c.require(chatModelAllowed, ref.field("chat_model"), "chat_model needs a generate stage at the end")
	c.require(pipeline.Deadline == 0 || total <= pipeline.Deadline, list,
		"the stages' typical times are %s, over the deadline %s", total.Std(), pipeline.Deadline.Std())
}

// checkFlow checks that each stage of a pipeline is given what it works on, and that another stage
// or the answer uses its result.
func (c *checker) checkFlow(pipeline Pipeline, list nodeRef) {
	unused, retriever := -1, -1 // the stage whose embedding no stage has used, and the one whose passages are in use
	for j, name := range pipeline.Stages {
		stage, _ := c.document.Stage(name)
		switch stage.Kind {
		case KindEncode:
			c.require(unused < 0, list.element(j), "stage %q replaces an embedding that no retrieve stage has used", name)
			unused = j
		case KindRetrieve:
			c.require(retriever < 0, list.element(j), "stage %q replaces the passages of an earlier retrieve stage", name)
			unused, retriever = -1, j
		case KindRerank:
			c.require(retriever >= 0, list.element(j), "stage %q is given no passages: no retrieve stage stands before it", name)
		}
	}
	if unused >= 0 {
		c.report(list.element(unused), "no retrieve stage uses the embedding of stage %q", pipeline.Stages[unused])
	}
}

func (c *checker) checkServices() {
	for i, service := range c.document.Services {
		ref := c.entry(SectionServices, i)
		pool, known := c.document.Pool(service.Pool)
		c.require(known, ref.field("pool"), "pool %q is not in pools", service.Pool)
		c.require(!known || pool.Kind == KindService, ref.field("pool"),
			"pool %q is of kind %q, not service", service.Pool, pool.Kind)
		_, known = c.document.Class(service.Class)
		c.require(known, ref.field("class"), "class %q is not in classes", service.Class)
		c.require(len(service.Operations) > 0, ref, "service %q has no operations", service.Name)
		c.checkOperations(service, ref.field("operations"))
	}
}

// checkOperations checks the operations of a service.
func (c *checker) checkOperations(service Service, list nodeRef) {
	methods := []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}
	for j, operation := range service.Operations {
		ref := list.element(j)
		c.require(slices.Contains(methods, operation.Method), ref.field("method"),
			"method %q is none of %s", operation.Method, strings.Join(methods, ", "))
		c.require(isValidPath(operation.Path), ref.field("path"),
			"path %q must start with / and have no query, empty or dot segment", operation.Path)
		same := func(o Operation) bool { return o.Method == operation.Method && o.Path == operation.Path }
		c.require(slices.IndexFunc(service.Operations, same) == j, ref, "the operation stands twice")
		safe := operation.Method == "GET" || operation.Method == "HEAD"
		c.require(!safe || operation.Idempotent, ref,
			"%s is idempotent by its definition: say idempotent: true", operation.Method)
	}
}

// isValidPath reports whether a path can be matched and sent without escaping or
// normalisation.
func isValidPath(path string) bool {
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
		ref := c.entry(SectionLimits, i)
		_, known := c.document.Workspace(limit.Workspace)
		c.require(known, ref.field("workspace"), "workspace %q is not in workspaces", limit.Workspace)
		if limit.Class != "" {
			_, known = c.document.Class(limit.Class)
			c.require(known, ref.field("class"), "class %q is not in classes", limit.Class)
		}
		c.require(limit.RequestsPerSecond >= 0 && limit.TokensPerSecond >= 0, ref, "a limit must not be negative")
		c.require(limit.RequestsPerSecond > 0 || limit.TokensPerSecond > 0, ref,
			"a limit needs requests_per_second or tokens_per_second")
		key := scope{limit.Workspace, limit.Class}
		c.require(!seen[key], ref, "workspace %q has two limits for the same class", limit.Workspace)
		seen[key] = true
	}
}

func (c *checker) checkPrices() {
	for i, price := range c.document.Prices {
		ref := c.entry(SectionPrices, i)
		_, known := c.document.Pool(price.Pool)
		c.require(known, ref.field("pool"), "pool %q is not in pools", price.Pool)
		c.require(price.PerSecond >= 0 && price.PerInputToken >= 0 && price.PerOutputToken >= 0, ref,
			"a price must not be negative")
	}
}

// checkOwners checks the owners, and that every section has at least one.
func (c *checker) checkOwners() {
	owned := make(map[Section]bool)
	for i, owner := range c.document.Owners {
		ref := c.entry(SectionOwners, i)
		c.require(len(owner.KeyHashes) > 0, ref, "team %q has no key_hashes", owner.Team)
		c.require(len(owner.Sections) > 0, ref, "team %q owns no section", owner.Team)
		for j, section := range owner.Sections {
			known := slices.Contains(Sections(), section)
			c.require(known, ref.field("sections").element(j), "%q is not a section", section)
			owned[section] = true
		}
	}
	for _, section := range Sections() {
		c.require(owned[section], c.entry(SectionOwners, len(c.document.Owners)), "no team owns section %q", section)
	}
}

// isFraction reports whether a value is a fraction from 0 to 1.
func isFraction(value float64) bool { return value >= 0 && value <= 1 }
