/**
 * Durable storage of the replicated log: segments with checksums, snapshot files, the hard state
 * and the identity of the data folder.
 */
package io.jacinthquay.consensus.storage;
