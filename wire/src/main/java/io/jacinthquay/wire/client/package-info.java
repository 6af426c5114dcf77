/** Client of the keepers for routers, controllers and operators. */
package io.jacinthquay.wire.client;
