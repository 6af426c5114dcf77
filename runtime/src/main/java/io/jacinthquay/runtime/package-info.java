/** Program life cycle, settings, logging and TLS that the programs share. */
package io.jacinthquay.runtime;
