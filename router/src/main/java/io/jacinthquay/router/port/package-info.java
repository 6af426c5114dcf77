/** What the router needs from the outside; {@code adapter} packages implement it. */
package io.jacinthquay.router.port;
