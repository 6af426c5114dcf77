/** Mutual TLS among the processes of the system and with operators, from PEM files. */
package io.jacinthquay.runtime.tls;
