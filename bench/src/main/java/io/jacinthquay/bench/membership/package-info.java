/** Simulated trials of the membership: many members in one process, in virtual time. */
package io.jacinthquay.bench.membership;
