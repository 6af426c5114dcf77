/** Mutual TLS between the system's processes and towards operators, from PEM files. */
package io.jacinthquay.runtime.tls;
