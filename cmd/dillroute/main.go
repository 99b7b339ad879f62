// Command dillroute is a router for language-model serving with separate prefill and decode engines.
package main

import "dillroute/internal/cli"

func main() { cli.Main() }
