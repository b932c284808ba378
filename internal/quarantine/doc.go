// Package quarantine identifies requests that end the servers which run them (a query of
// death: Beyer et al., Site Reliability Engineering, 2016, ch. 22).
package quarantine
