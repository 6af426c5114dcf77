/**
 * Durable storage of the replicated log: checksummed segments, snapshot files, the hard state and
 * the identity of the data folder.
 */
package io.jacinthquay.consensus.storage;
