// Package shaccount replicates account records from entry VMs to account VMs.
//
// The Outbox of an entry VM groups records into batches, sends each batch to
// account VMs in other failure domains, and holds it in memory until two of
// them have synced it. The Store of an account VM appends records to segments
// under its data folder and reads them in the order of export. Only the index of the
// newest segments is in memory, that of the others in index files. A Store without
// data folder holds copies in memory until the outbox releases them. Package
// shreplication chooses the targets of each batch. The Allocator assigns request
// IDs.
//
// The messages are plain structs. A Replicator sends them; HandleAppend, Read
// and Release of Store answer them.
package shaccount
