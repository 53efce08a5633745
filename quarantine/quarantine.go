// Package quarantine holds what is believed of requests across attempts and instances:
// which contents bring down the replicas that run them.
package quarantine
