/** The configuration and the API keys in force at this router. */
package io.jacinthquay.router.service.config;
