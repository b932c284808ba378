// Package docwalk has only tests. They run the commands of the pages under docs
// as a reader would paste them, and follow the links between pages, so that both
// stay true.
//
// A fenced block whose info string is "sh walk" is run; all such blocks of a
// page run in one bash session, in order. A block "text walk" after it lists
// texts that the output of the block before it must contain, one a line and in
// that order.
package docwalk
