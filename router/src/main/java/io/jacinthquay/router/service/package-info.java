/** The router service, which connects the parts of the router. */
package io.jacinthquay.router.service;
