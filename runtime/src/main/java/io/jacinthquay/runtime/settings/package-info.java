/** Parsing of the programs' settings from flags and environment variables. */
package io.jacinthquay.runtime.settings;
