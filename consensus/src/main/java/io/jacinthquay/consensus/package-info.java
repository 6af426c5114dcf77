/** Replicated log as a pure state machine, with its file storage. */
package io.jacinthquay.consensus;
