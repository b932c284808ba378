package policy

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The syntax tree. The struct tags are the grammar; the same grammar in
// readable form stands in docs/operate/policies.md. Values stay tokens here,
// so that the checker can point at them.

type fileNode struct {
	Declarations []*declarationNode `parser:"@@*"`
}

// declarationNode is exactly one of its fields.
type declarationNode struct {
	Service *serviceNode `parser:"  @@"`
	Policy  *policyNode  `parser:"| @@"`
	Route   *routeNode   `parser:"| @@"`
	Region  *regionNode  `parser:"| @@"`
}

type serviceNode struct {
	Pos   lexer.Position
	Name  lexer.Token        `parser:"'service' @Ident '{'"`
	Items []*serviceItemNode `parser:"@@*"`
	Close lexer.Token        `parser:"@'}'"`
}

// serviceItemNode is exactly one of its fields; tokens that are not set have
// type 0.
type serviceItemNode struct {
	Pos         lexer.Position
	Slots       lexer.Token     `parser:"  'slots' @Number"`
	Connections lexer.Token     `parser:"| 'connections' @Number"`
	HedgeBudget *budgetNode     `parser:"| 'hedge' 'budget' @@"`
	RetryBudget *budgetNode     `parser:"| 'retry' 'budget' @@"`
	CellRouters lexer.Token     `parser:"| 'cell' 'routers' @Number"`
	ColdStart   lexer.Token     `parser:"| 'cold' 'start' @Number"`
	Generation  *generationNode `parser:"| @@"`
}

type budgetNode struct {
	Ratio lexer.Token `parser:"@Number"`
	Burst lexer.Token `parser:"( 'burst' @Number )?"`
}

type generationNode struct {
	Number lexer.Token  `parser:"'generation' @Number '{'"`
	Groups []*groupNode `parser:"@@*"`
	Close  lexer.Token  `parser:"@'}'"`
}

type groupNode struct {
	Pos      lexer.Position
	Name     lexer.Token    `parser:"'group' @Ident '{'"`
	Replicas []*replicaNode `parser:"@@*"`
	Close    lexer.Token    `parser:"@'}'"`
}

type replicaNode struct {
	Pos         lexer.Position
	Address     lexer.Token `parser:"'replica' @Address"`
	Zone        lexer.Token `parser:"'zone' @Ident"`
	Slots       lexer.Token `parser:"( 'slots' @Number )?"`
	Connections lexer.Token `parser:"( 'connections' @Number )?"`
	Shared      lexer.Token `parser:"@'shared'?"`
}

type routeNode struct {
	Pos   lexer.Position
	Name  lexer.Token      `parser:"'route' @Ident '{'"`
	Items []*routeItemNode `parser:"@@*"`
	Close lexer.Token      `parser:"@'}'"`
}

// routeItemNode is exactly one of its fields. The first three are of routes to
// the own services, the others of routes that another region owns.
type routeItemNode struct {
	Pos        lexer.Position
	Service    lexer.Token `parser:"  'service' @Ident"`
	Policy     lexer.Token `parser:"| 'policy' @Ident"`
	Target     lexer.Token `parser:"| 'target' @Ident"`
	Region     lexer.Token `parser:"| 'region' @Ident"`
	Deadline   lexer.Token `parser:"| 'deadline' @Number"`
	Repeatable lexer.Token `parser:"| @'repeatable'"`
}

// regionNode declares another region.
type regionNode struct {
	Pos     lexer.Position
	Name    lexer.Token  `parser:"'region' @Ident '{'"`
	Entries []*entryNode `parser:"@@*"`
	Close   lexer.Token  `parser:"@'}'"`
}

// entryNode is an entry router of another region.
type entryNode struct {
	Pos     lexer.Position
	Address lexer.Token `parser:"'router' @Address"`
}

type policyNode struct {
	Pos   lexer.Position
	Name  lexer.Token       `parser:"'policy' @Ident '{'"`
	Items []*policyItemNode `parser:"@@*"`
	Close lexer.Token       `parser:"@'}'"`
}

// policyItemNode is exactly one of its fields.
type policyItemNode struct {
	Pos              lexer.Position
	Deadline         lexer.Token    `parser:"  'deadline' @Number"`
	Priority         lexer.Token    `parser:"| 'priority' @Ident"`
	Repeatable       lexer.Token    `parser:"| @'repeatable'"`
	OnceFor          lexer.Token    `parser:"| 'once' 'for' @Number"`
	SnapshotCoverage lexer.Token    `parser:"| 'snapshot' 'coverage' @Number"`
	Hedge            *hedgeNode     `parser:"| @@"`
	Retry            *retryNode     `parser:"| @@"`
	Merge            *mergeNode     `parser:"| @@"`
	Statement        *statementNode `parser:"| @@"`
}

type hedgeNode struct {
	Quantile lexer.Token `parser:"'hedge' 'at' @Ident"`
	Least    lexer.Token `parser:"'between' @Number"`
	Most     lexer.Token `parser:"'and' @Number"`
	Limit    lexer.Token `parser:"'at' 'most' @Number"`
}

type retryNode struct {
	Limit   lexer.Token `parser:"'retry' 'at' 'most' @Number"`
	Backoff lexer.Token `parser:"( 'backoff' @Number )?"`
}

type mergeNode struct {
	Concat lexer.Token `parser:"'merge' ( @'concat'"`
	Top    lexer.Token `parser:"| 'top' @Number"`
	Field  lexer.Token `parser:"  'by' @Ident"`
	Order  lexer.Token `parser:"  @( 'ascending' | 'descending' ) )"`
}

// statementNode is either "Action when Condition" or "at At Action".
type statementNode struct {
	At        lexer.Token `parser:"  ( 'at' @Number"`
	AtAction  lexer.Token `parser:"    @( 'answer' | 'fail' ) )"`
	Action    lexer.Token `parser:"| ( @( 'answer' | 'fail' )"`
	Condition *anyNode    `parser:"    'when' @@ )"`
}

// anyNode holds when one operand holds.
type anyNode struct {
	Operands []*allNode `parser:"@@ ( 'or' @@ )*"`
}

// allNode holds when all operands hold.
type allNode struct {
	Operands []*termNode `parser:"@@ ( 'and' @@ )*"`
}

// termNode is exactly one of its fields.
type termNode struct {
	Pos      lexer.Position
	Not      *termNode       `parser:"  'not' @@"`
	Nested   *anyNode        `parser:"| '(' @@ ')'"`
	Coverage *comparisonNode `parser:"| 'coverage' @@"`
	Elapsed  *comparisonNode `parser:"| 'elapsed' @@"`
	Covered  *coveredNode    `parser:"| @@"`
	Settled  lexer.Token     `parser:"| @'settled'"`
}

type comparisonNode struct {
	Operator lexer.Token `parser:"@( '>=' | '<' )"`
	Value    lexer.Token `parser:"@Number"`
}

type coveredNode struct {
	Groups []*nameNode `parser:"'covered' '(' @@ ( ',' @@ )* ')'"`
}

type nameNode struct {
	Name lexer.Token `parser:"@Ident"`
}

// grammar is safe for concurrent use. Each choice is settled by its first
// keyword; without lookahead an error is reported where the text goes wrong
// and not where the setting began.
var grammar = participle.MustBuild[fileNode](
	participle.Lexer(languageLexer{}),
	participle.Elide("Comment"),
	participle.UseLookahead(0),
)

// present reports whether an optional token was in the text.
func present(token lexer.Token) bool { return token.Type != 0 }
