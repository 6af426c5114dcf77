/** Interfaces between the router and the outside; the {@code adapter} packages implement them. */
package io.jacinthquay.router.port;
