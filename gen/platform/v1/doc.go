// Package platformv1 is made from schema/platform/v1 by schema/generate.sh.
package platformv1
