package policy

import (
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/martenstage/martenstage/internal/nearest"
	"github.com/martenstage/martenstage/internal/plan"
)

// Compile turns configuration text into a plan. The file name only serves the
// messages. When the text has errors, the error is of type Problems and holds
// all of them. Compile never panics, whatever the text.
func Compile(filename string, text []byte) (*plan.Plan, error) {
	compiled, _, err := compile(filename, string(text))
	return compiled, err
}

// compile also returns the checker, which knows what no route refers to.
func compile(filename, text string) (*plan.Plan, *checker, error) {
	report := newReporter(filename, text)
	src, ok := read(report, text)
	check := newChecker(report, src)
	compiled := &plan.Plan{}
	if ok && src.empty() {
		// It would take every route out of force; nobody asks for that with a
		// file that was cut off or never written.
		report.add(lexer.Position{Line: 1, Column: 1}, "the configuration declares nothing")
		ok = false
	}
	if ok {
		compiled = check.file()
	}
	if problems := report.sorted(); len(problems) > 0 {
		return nil, nil, problems
	}
	return compiled, check, nil
}

// checker turns the syntax tree of one text into a plan and reports what is
// wrong on the way.
type checker struct {
	report    *reporter
	source    *source
	services  map[string]*plan.Service
	policies  map[string]*checkedPolicy
	regions   map[string]*plan.Region
	addresses map[addressKey]*addressUse
	groups    map[groupKey]bool
	// declared holds the place of each declaration, used whether a route
	// refers to it.
	declared map[declarationKey]lexer.Position
	used     map[declarationKey]bool
	// limitsUnsure is true once a limit of a server could not be read.
	limitsUnsure bool
}

// groupKey names a group of a service.
type groupKey struct {
	service    string
	generation uint32
	group      string
}

// declarationKey names a declaration; services, policies and routes may have
// the same name.
type declarationKey struct {
	keyword string
	name    string
}

// declare notes a declaration and reports one of a name that is taken.
func (c *checker) declare(keyword string, name lexer.Token) bool {
	key := declarationKey{keyword: keyword, name: name.Value}
	if earlier, found := c.declared[key]; found {
		c.report.add(name.Pos, "%s %s is declared twice; the first is on line %d", keyword, name.Value, earlier.Line)
		return false
	}
	c.declared[key] = name.Pos
	return true
}

// checkedPolicy is a policy with the places that only a route can check.
type checkedPolicy struct {
	compiled plan.Policy
	covered  []lexer.Token
}

func newChecker(report *reporter, src *source) *checker {
	return &checker{
		report:    report,
		source:    src,
		services:  map[string]*plan.Service{},
		policies:  map[string]*checkedPolicy{},
		regions:   map[string]*plan.Region{},
		addresses: map[addressKey]*addressUse{},
		groups:    map[groupKey]bool{},
		declared:  map[declarationKey]lexer.Position{},
		used:      map[declarationKey]bool{},
	}
}

// file checks services and policies before routes, which refer to both.
func (c *checker) file() *plan.Plan {
	var routes []*routeNode
	c.source.parse(func(declaration *declarationNode) {
		switch {
		case declaration.Service != nil:
			c.service(declaration.Service)
		case declaration.Policy != nil:
			c.policy(declaration.Policy)
		case declaration.Region != nil:
			c.region(declaration.Region)
		default:
			routes = append(routes, declaration.Route)
		}
	})
	return c.join(routes)
}

// join checks the routes and makes the plan of what was declared.
func (c *checker) join(routes []*routeNode) *plan.Plan {
	compiled := &plan.Plan{}
	if len(routes) > maxRoutes {
		c.report.add(routes[maxRoutes].Pos, "the text has more than %d routes", maxRoutes)
		return compiled
	}
	for _, node := range routes {
		c.anyRoute(compiled, node)
	}
	for _, service := range c.services {
		compiled.Services = append(compiled.Services, *service)
	}
	for _, region := range c.regions {
		compiled.Regions = append(compiled.Regions, *region)
	}
	slices.SortFunc(compiled.Services, func(a, b plan.Service) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(compiled.Routes, func(a, b plan.Route) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(compiled.Regions, func(a, b plan.Region) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(compiled.RemoteRoutes, func(a, b plan.RemoteRoute) int { return strings.Compare(a.Name, b.Name) })
	return compiled
}

// anyRoute checks a route, which is to an own service or owned by another
// region, and adds it to the plan.
func (c *checker) anyRoute(compiled *plan.Plan, node *routeNode) {
	c.report.name(node.Name, keywordRoute)
	if !c.declare(keywordRoute, node.Name) {
		return
	}
	if node.remote() {
		if route, ok := c.remoteRoute(node); ok {
			compiled.RemoteRoutes = append(compiled.RemoteRoutes, route)
		}
		return
	}
	if route, ok := c.route(node); ok {
		compiled.Routes = append(compiled.Routes, route)
	}
}

// settingPlaces remembers where each setting of a block was given, so that a
// second one is an error and a missing one can be told.
type settingPlaces map[string]lexer.Position

// first reports a setting that was given before.
func (s settingPlaces) first(report *reporter, what string, place lexer.Position) bool {
	earlier, found := s[what]
	if found {
		report.add(place, "%s is given twice; the first is on line %d", what, earlier.Line)
		return false
	}
	s[what] = place
	return true
}

// route checks a route to an own service and joins it with its policy.
func (c *checker) route(node *routeNode) (plan.Route, bool) {
	items := c.routeItems(node)
	route := plan.Route{Name: node.Name.Value, Service: items[keywordService].Value, Target: c.target(items)}
	service := c.services[route.Service]
	policy := c.policies[items[keywordPolicy].Value]
	if service == nil || policy == nil {
		c.unknownName(keywordService, items[keywordService])
		c.unknownName(keywordPolicy, items[keywordPolicy])
		return plan.Route{}, false
	}
	c.used[declarationKey{keywordService, service.Name}] = true
	c.used[declarationKey{keywordPolicy, policy.compiled.Name}] = true
	c.coveredGroups(route, service, policy)
	route.Policy = policy.compiled
	return route, true
}

// routeItems returns the settings of a route by keyword.
func (c *checker) routeItems(node *routeNode) map[string]lexer.Token {
	places := settingPlaces{}
	items := map[string]lexer.Token{}
	for _, item := range node.Items {
		if present(item.Deadline) || present(item.Repeatable) {
			c.report.add(item.Pos, "%s is for routes that another region owns; here the policy says it", item.setting())
		}
		given := map[string]lexer.Token{keywordService: item.Service, keywordPolicy: item.Policy, "target": item.Target}
		for what, token := range given {
			if present(token) && places.first(c.report, what, item.Pos) {
				items[what] = token
			}
		}
	}
	for _, what := range []string{keywordService, keywordPolicy} {
		if _, found := items[what]; !found && !c.source.wasDamaged(node.Pos, node.Close.Pos) {
			c.report.add(node.Name.Pos, "route %s names no %s", node.Name.Value, what)
		}
	}
	return items
}

// target reads the target of a route; without one it is all shards.
func (c *checker) target(items map[string]lexer.Token) plan.Target {
	token, found := items["target"]
	switch {
	case !found || token.Value == "all":
		return plan.TargetAll
	case token.Value == "key":
		return plan.TargetKey
	}
	c.report.add(token.Pos, "target is %s; it must be all or key", quote(token.Value))
	return plan.TargetAll
}

// unknownName reports a reference to a declaration that does not exist. One
// that exists but could not be parsed has been reported already.
func (c *checker) unknownName(keyword string, token lexer.Token) {
	known := c.source.declared[keyword]
	if !present(token) || c.report.full() || slices.Contains(known, token.Value) {
		return
	}
	c.report.add(token.Pos, "unknown %s %s%s", keyword, quote(token.Value), suggestion(token.Value, known))
}

// suggestion is a hint at the known name nearest to a mistyped one, or "".
func suggestion(word string, known []string) string {
	name, ok := nearest.Name(word, known)
	if !ok {
		return ""
	}
	return "; did you mean " + name + "?"
}

// coveredGroups checks the groups that a policy names against the service of
// a route that uses it. A group must exist in every live generation, because
// a request may be pinned to either.
func (c *checker) coveredGroups(route plan.Route, service *plan.Service, policy *checkedPolicy) {
	for _, token := range policy.covered {
		if route.Target == plan.TargetKey {
			c.report.add(token.Pos, "route %s asks one group by key, so its policy can't wait for a group by name", route.Name)
			continue
		}
		for _, generation := range service.Generations {
			key := groupKey{service: service.Name, generation: generation.Number, group: token.Value}
			if !c.groups[key] && !c.report.full() {
				c.report.add(token.Pos, "service %s of route %s has no group %s in generation %d%s", service.Name,
					route.Name, quote(token.Value), generation.Number, suggestion(token.Value, shardNames(generation)))
			}
		}
	}
}

func shardNames(generation plan.Generation) []string {
	names := make([]string, 0, len(generation.Shards))
	for _, shard := range generation.Shards {
		names = append(names, shard.Name)
	}
	return names
}
