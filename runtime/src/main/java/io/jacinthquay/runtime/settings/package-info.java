/** Settings of the programs, from flags and environment variables. */
package io.jacinthquay.runtime.settings;
