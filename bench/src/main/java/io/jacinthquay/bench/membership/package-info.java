/** Trials of the membership with many members in one process and virtual time. */
package io.jacinthquay.bench.membership;
