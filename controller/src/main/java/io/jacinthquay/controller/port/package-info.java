/** Interfaces of a controller to the keepers, the platform and the clock. */
package io.jacinthquay.controller.port;
