/** The configuration and the keys in force at this router. */
package io.jacinthquay.router.service.config;
