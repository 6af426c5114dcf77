/** Puts the parts of the router together. */
package io.jacinthquay.router.service;
