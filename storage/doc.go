// Package storage keeps the data folder of one VM: the identity of the VM and, for
// each replicated group, a log in segments and one snapshot.
//
// The folder is laid out as follows:
//
//	identity.json              VM name and incarnation
//	group-<name>.lock          held while a process has the group open
//	group-<name>/log-<n>.seg   segment n: a header, a checkpoint and one record a Save
//	group-<name>/snap-<i>-<t>  snapshot at index i and term t
//
// Every file is written under a temporary name, synced, renamed and its folder
// synced, so a file with a final name is whole. Only the newest segment grows in
// place, and each record of it is synced before the next is written. A record that
// cannot be read is therefore a torn tail if nothing was written after it, and damage
// otherwise.
package storage
