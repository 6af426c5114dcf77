/** The keeper, which holds the durable replicated state. */
package io.jacinthquay.keeper;
