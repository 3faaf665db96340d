package document

import "github.com/zeebo/errs"

// Error is the class of every error this package returns.
var Error = errs.Class("document")
