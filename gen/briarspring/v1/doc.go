// Package briarspringv1 is made from schema/briarspring/v1 by schema/generate.sh.
package briarspringv1
