// Package store connects a host with the platform's key-value service.
package store
