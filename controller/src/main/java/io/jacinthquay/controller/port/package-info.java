/** What a controller needs from the keepers, the platform and the clock. */
package io.jacinthquay.controller.port;
