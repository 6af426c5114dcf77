/** Handles one request: the checks of its head and body, its attempts and its answer. */
package io.jacinthquay.router.service.request;
