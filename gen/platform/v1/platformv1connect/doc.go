// Package platformv1connect is made from schema/platform/v1 by schema/generate.sh.
package platformv1connect
