/** A TCP relay that records and cuts connections. */
package io.jacinthquay.testkit.net;
