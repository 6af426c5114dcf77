/** Settings, logging, TLS and service life cycle shared by the programs. */
package io.jacinthquay.runtime;
