// Package storage manages the data folder of one VM: the identity of the VM and, for
// each Raft group, a write-ahead log in segments and one snapshot.
//
// The layout of the folder:
//
//	identity.json              VM name and incarnation
//	identity.lock              locked while a process loads the identity
//	folder.lock                locked while a process uses the folder
//	groups.json                names of the groups created in the folder
//	group-<name>.lock          locked while a process has the group open
//	group-<name>/log-<n>.seg   segment n: a header, a checkpoint and one record per Save
//	group-<name>/snap-<i>-<t>  snapshot at index i and term t
//
// Every file is written under a temporary name, synced and renamed, and then its
// folder is synced, so a file with a final name is complete. Only the newest segment is
// appended to, and each of its records is synced before the next one is written. An
// unreadable record is therefore a torn tail if nothing was written after it, and
// corruption otherwise.
package storage
