// Command currantledge is a load balancer for expert-parallel model groups.
package main

func main() {}
