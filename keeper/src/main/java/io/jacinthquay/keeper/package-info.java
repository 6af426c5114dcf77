/** Holds the durable replicated state. */
package io.jacinthquay.keeper;
